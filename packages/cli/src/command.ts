import type { ArgsDef, CommandDef } from 'citty';

/**
 * Creates a command whose `run` is checked against the types of its own arguments. The result has
 * the general type, since the command tree holds commands with different arguments.
 */
export function createCommand<const T extends ArgsDef>(definition: CommandDef<T>): CommandDef {
  return definition as unknown as CommandDef;
}
