import type { ArgsDef, CommandDef } from 'citty';

/** Creates a command whose flags are typed for its own `run` and hidden from the command tree. */
export function createCommand<const T extends ArgsDef>(definition: CommandDef<T>): CommandDef {
  return definition as unknown as CommandDef;
}
