/** Process resources that commands use; tests replace them. */
export interface CliIo {
  writeOut: (text: string) => void;
  writeErr: (text: string) => void;
  env: Readonly<Record<string, string | undefined>>;
  /** Whether standard output is a terminal. */
  isTerminal: boolean;
  /** Resolves after a delay in milliseconds. */
  wait: (delayMs: number) => Promise<void>;
}

/** Creates a `CliIo` for the current process. */
export function createProcessIo(): CliIo {
  // A reader that closes the pipe early, such as `head`, is not an error.
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

/** Whether output can be coloured: on a terminal that is not dumb, with NO_COLOR unset or empty. */
export function canUseColours(io: CliIo): boolean {
  return io.isTerminal && (io.env.NO_COLOR ?? '') === '' && io.env.TERM !== 'dumb';
}
