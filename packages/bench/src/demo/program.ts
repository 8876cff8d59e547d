import { spawn } from 'node:child_process';
import { bundlePath, operatorToken } from '../cluster/index.ts';

/** Exit code and output of one run of the command-line program. */
export interface ProgramResult {
  exitCode: number;
  stdout: string;
  stderr: string;
}

/** Runs the bundled program against a daemon; `token` defaults to the operator token. */
export async function runProgram(
  server: string,
  args: string[],
  token = operatorToken,
): Promise<ProgramResult> {
  const env = {
    ...process.env,
    BERGAMOTREACH_SERVER: server,
    BERGAMOTREACH_TOKEN: token,
    NO_COLOR: '1',
  };
  const child = spawn(process.execPath, [bundlePath, ...args], { env });
  let stdout = '';
  let stderr = '';
  child.stdout.on('data', (chunk: Buffer) => {
    stdout += chunk.toString();
  });
  child.stderr.on('data', (chunk: Buffer) => {
    stderr += chunk.toString();
  });
  const exitCode = await new Promise<number>((resolve) => {
    child.once('close', (code) => {
      resolve(code ?? 1);
    });
  });
  return { exitCode, stdout, stderr };
}
