/*
 * Shared by all specifications. Every checked property is a named flag, so that the message
 * "assertion violated <name>" of the checker tells which property failed.
 */
#define must(property, condition) d_step { property = (condition); assert(property) }
