import { spawn } from 'node:child_process';
import { bundlePath, operatorToken } from '../cluster/index.ts';

/** Output of one run of the command line. */
export interface ProgramOutput {
  exitCode: number;
  stdout: string;
  stderr: string;
}

/** Runs the built program against a daemon; `token` defaults to the operator's. */
export async function runProgram(
  server: string,
  args: string[],
  token = operatorToken,
): Promise<ProgramOutput> {
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
