import type { ArgsDef, CommandDef } from 'citty';

/** Defines a command: `run` sees the types of its flags, the command tree does not. */
export function createCommand<const T extends ArgsDef>(definition: CommandDef<T>): CommandDef {
  return definition as unknown as CommandDef;
}
