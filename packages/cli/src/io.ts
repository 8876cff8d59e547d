/** What a command needs of its process. Tests replace it. */
export interface CliIo {
  writeOut: (text: string) => void;
  writeErr: (text: string) => void;
  env: Readonly<Record<string, string | undefined>>;
  /** Whether standard output is a terminal. */
  isTerminal: boolean;
  /** Resolves after a delay in milliseconds. */
  wait: (delayMs: number) => Promise<void>;
}

/** Creates the interface to the running process. */
export function createProcessIo(): CliIo {
  // A reader that closes the pipe early, such as `head`, is no error.
  process.stdout.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'EPIPE') process.exit();
    throw error;
  });
  return {
    writeOut: (text) => process.stdout.write(text),
    writeErr: (text) => process.stderr.write(text),
    env: process.env,
    isTerminal: process.stdout.isTTY,
    wait: (delayMs) =>
      new Promise((resolve) => {
        setTimeout(resolve, delayMs);
      }),
  };
}

/** Tells whether output may have colours: on a terminal, unless NO_COLOR is set and not empty. */
export function hasColours(io: CliIo): boolean {
  return io.isTerminal && (io.env.NO_COLOR ?? '') === '' && io.env.TERM !== 'dumb';
}
