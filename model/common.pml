/*
 * Shared by all specifications. A property is a named flag, so that the checker's message
 * "assertion violated <name>" tells which one failed.
 */
#define must(property, condition) d_step { property = (condition); assert(property) }
