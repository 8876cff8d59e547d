import { parseArgs, stripVTControlCharacters } from 'node:util';
import { renderUsage, runCommand } from 'citty';
import type { ArgsDef, CommandDef, SubCommandsDef } from 'citty';
import { ExitCode, FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { closest } from 'fastest-levenshtein';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { hasColours } from './io.ts';
import type { CliIo } from './io.ts';
import { reportFault } from './output.ts';
import { createRootCommand, exitCodeLines, version } from './root.ts';

interface FoundCommand {
  command: CommandDef;
  /** Words that lead to the command, with the name of the binary. */
  words: string[];
  /** Arguments after those words. */
  rest: string[];
}

/** Runs one command line without the name of the binary; returns the exit code. */
export async function runCli(argv: readonly string[], io: CliIo): Promise<number> {
  if (argv.length === 1 && argv[0] === '--version') {
    io.writeOut(`${version}\n`);
    return ExitCode.Ok;
  }
  const isJson = argv.includes('--json');
  const found = await findCommand(createRootCommand(io), argv);
  if (found.isErr()) return reportFault(io, isJson, found.error);
  const { command, rest } = found.value;
  if (isHelp(rest)) {
    io.writeOut(await renderHelp(io, found.value));
    return ExitCode.Ok;
  }
  if (command.subCommands !== undefined) {
    io.writeErr(await renderHelp(io, found.value));
    return ExitCode.Usage;
  }
  const fault = checkArguments((command.args ?? {}) as ArgsDef, rest);
  if (fault !== undefined) return reportFault(io, isJson, fault);
  return runFound(command, rest, io, isJson);
}

async function runFound(
  command: CommandDef,
  rest: string[],
  io: CliIo,
  isJson: boolean,
): Promise<number> {
  try {
    const { result } = await runCommand(command, { rawArgs: rest });
    return typeof result === 'number' ? result : ExitCode.Ok;
  } catch (error) {
    const { name = '', message = '' } = error as Partial<Error>;
    const code = name === 'CLIError' ? FaultCode.BadRequest : FaultCode.Internal;
    return reportFault(io, isJson, createFault(code, stripVTControlCharacters(message)));
  }
}

function isHelp(args: readonly string[]): boolean {
  const end = args.indexOf('--');
  const flags = end === -1 ? args : args.slice(0, end);
  return flags.includes('--help') || flags.includes('-h');
}

async function findCommand(
  root: CommandDef,
  argv: readonly string[],
): Promise<Result<FoundCommand, Fault>> {
  let command = root;
  const words = ['bergamotreach'];
  let rest = [...argv];
  while (command.subCommands !== undefined) {
    const word = rest[0];
    if (word === undefined || word === '--help' || word === '-h') break;
    const inner = command.subCommands as SubCommandsDef;
    const entry = Object.hasOwn(inner, word) ? inner[word] : undefined;
    if (entry === undefined) return Err(createUnknown('command', word, Object.keys(inner)));
    command = (await (typeof entry === 'function' ? entry() : entry)) as CommandDef;
    words.push(word);
    rest = rest.slice(1);
  }
  return Ok({ command, words, rest });
}

function createUnknown(kind: string, word: string, known: string[]): Fault {
  const hint = known.length === 0 ? '' : `; nearest known: ${closest(word, known)}`;
  const message = `unknown ${kind} ${JSON.stringify(word)}${hint}`;
  return createFault(FaultCode.BadRequest, message, { details: { known } });
}

// citty takes unknown flags and surplus arguments without a word, so they are checked here.
function checkArguments(args: ArgsDef, rest: string[]): Fault | undefined {
  const flags = Object.entries(args).filter(([, arg]) => arg.type !== 'positional');
  const options = Object.fromEntries(
    flags.map(([name, arg]) => [
      name,
      { type: arg.type === 'boolean' ? ('boolean' as const) : ('string' as const) },
    ]),
  );
  try {
    const { positionals } = parseArgs({ args: rest, options, allowPositionals: true });
    return checkPositionals(args, positionals);
  } catch (error) {
    const unknown = rest.find((word) => isUnknownFlag(word, options));
    if (unknown !== undefined) {
      return createUnknown(
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

function checkPositionals(args: ArgsDef, found: string[]): Fault | undefined {
  const known = Object.values(args).filter((arg) => arg.type === 'positional');
  const isVariadic = known.some((arg) => arg.valueHint === '...');
  const surplus = isVariadic ? undefined : found[known.length];
  if (surplus === undefined) return undefined;
  return createFault(FaultCode.BadRequest, `surplus argument ${JSON.stringify(surplus)}`);
}

async function renderHelp(io: CliIo, { command, words }: FoundCommand): Promise<string> {
  const parent: CommandDef = { meta: { name: words.slice(0, -1).join(' ') } };
  const named: CommandDef = {
    ...command,
    meta: { ...(command.meta as object), name: words.at(-1) ?? '' },
  };
  const usage = await renderUsage(named, parent);
  const text = `${usage}\n${words.length === 1 ? `\n${exitCodeLines}` : ''}`;
  return hasColours(io) ? text : stripVTControlCharacters(text);
}
