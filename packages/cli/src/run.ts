import { parseArgs, stripVTControlCharacters } from 'node:util';
import { renderUsage, runCommand } from 'citty';
import type { ArgsDef, CommandDef, SubCommandsDef } from 'citty';
import { ExitCode, FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { closest } from 'fastest-levenshtein';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { canUseColours } from './io.ts';
import type { CliIo } from './io.ts';
import { printFault } from './output.ts';
import { createRootCommand, exitCodeLines, version } from './root.ts';

interface ResolvedCommand {
  command: CommandDef;
  /** Name of the binary, followed by the names of the command and its parents. */
  commandPath: string[];
  /** Arguments after the command. */
  rawArgs: string[];
}

/** Runs a command line, given without the name of the binary; resolves to the exit code. */
export async function runCli(argv: readonly string[], io: CliIo): Promise<number> {
  if (argv.length === 1 && argv[0] === '--version') {
    io.writeOut(`${version}\n`);
    return ExitCode.Ok;
  }
  const isJson = argv.includes('--json');
  const resolved = await resolveCommand(createRootCommand(io), argv);
  if (resolved.isErr()) return printFault(io, isJson, resolved.error);
  const { command, rawArgs } = resolved.value;
  if (hasHelpFlag(rawArgs)) {
    io.writeOut(await renderHelp(io, resolved.value));
    return ExitCode.Ok;
  }
  if (command.subCommands !== undefined) {
    io.writeErr(await renderHelp(io, resolved.value));
    return ExitCode.Usage;
  }
  const fault = checkArguments((command.args ?? {}) as ArgsDef, rawArgs);
  if (fault !== undefined) return printFault(io, isJson, fault);
  return runResolved(command, rawArgs, io, isJson);
}

async function runResolved(
  command: CommandDef,
  rawArgs: string[],
  io: CliIo,
  isJson: boolean,
): Promise<number> {
  try {
    const { result } = await runCommand(command, { rawArgs });
    return typeof result === 'number' ? result : ExitCode.Ok;
  } catch (error) {
    const { name = '', message = '' } = error as Partial<Error>;
    const code = name === 'CLIError' ? FaultCode.BadRequest : FaultCode.Internal;
    return printFault(io, isJson, createFault(code, stripVTControlCharacters(message)));
  }
}

function hasHelpFlag(args: readonly string[]): boolean {
  const separatorIndex = args.indexOf('--');
  const flags = separatorIndex === -1 ? args : args.slice(0, separatorIndex);
  return flags.includes('--help') || flags.includes('-h');
}

async function resolveCommand(
  root: CommandDef,
  argv: readonly string[],
): Promise<Result<ResolvedCommand, Fault>> {
  let command = root;
  const commandPath = ['bergamotreach'];
  let rawArgs = [...argv];
  while (command.subCommands !== undefined) {
    const word = rawArgs[0];
    if (word === undefined || word === '--help' || word === '-h') break;
    const subCommands = command.subCommands as SubCommandsDef;
    const entry = Object.hasOwn(subCommands, word) ? subCommands[word] : undefined;
    if (entry === undefined)
      return Err(createUnknownFault('command', word, Object.keys(subCommands)));
    command = (await (typeof entry === 'function' ? entry() : entry)) as CommandDef;
    commandPath.push(word);
    rawArgs = rawArgs.slice(1);
  }
  return Ok({ command, commandPath, rawArgs });
}

function createUnknownFault(kind: string, word: string, known: string[]): Fault {
  const hint = known.length === 0 ? '' : `; nearest known: ${closest(word, known)}`;
  const message = `unknown ${kind} ${JSON.stringify(word)}${hint}`;
  return createFault(FaultCode.BadRequest, message, { details: { known } });
}

// citty silently ignores unknown flags and surplus arguments, so they are checked here.
function checkArguments(args: ArgsDef, rawArgs: string[]): Fault | undefined {
  const flags = Object.entries(args).filter(([, arg]) => arg.type !== 'positional');
  const options = Object.fromEntries(
    flags.map(([name, arg]) => [
      name,
      { type: arg.type === 'boolean' ? ('boolean' as const) : ('string' as const) },
    ]),
  );
  try {
    const { positionals } = parseArgs({ args: rawArgs, options, allowPositionals: true });
    return checkPositionals(args, positionals);
  } catch (error) {
    const unknown = rawArgs.find((word) => isUnknownFlag(word, options));
    if (unknown !== undefined) {
      return createUnknownFault(
        'flag',
        unknown,
        Object.keys(options).map((name) => `--${name}`),
      );
    }
    return createFault(FaultCode.BadRequest, (error as Error).message);
  }
}

function isUnknownFlag(word: string, options: object): boolean {
  if (!word.startsWith('-') || word === '--') return false;
  const name = word.replace(/^--/u, '').split('=')[0] ?? '';
  return !word.startsWith('--') || !Object.hasOwn(options, name);
}

function checkPositionals(args: ArgsDef, positionals: string[]): Fault | undefined {
  const known = Object.values(args).filter((arg) => arg.type === 'positional');
  const isVariadic = known.some((arg) => arg.valueHint === '...');
  const surplus = isVariadic ? undefined : positionals[known.length];
  if (surplus === undefined) return undefined;
  return createFault(FaultCode.BadRequest, `surplus argument ${JSON.stringify(surplus)}`);
}

async function renderHelp(io: CliIo, { command, commandPath }: ResolvedCommand): Promise<string> {
  const parent: CommandDef = { meta: { name: commandPath.slice(0, -1).join(' ') } };
  const named: CommandDef = {
    ...command,
    meta: { ...(command.meta as object), name: commandPath.at(-1) ?? '' },
  };
  const usage = await renderUsage(named, parent);
  const text = `${usage}\n${commandPath.length === 1 ? `\n${exitCodeLines}` : ''}`;
  return canUseColours(io) ? text : stripVTControlCharacters(text);
}
