import { runDaemon } from '../src/run.ts';

// Entry point of a daemon process, for tests that need its signals and exit code.
void runDaemon(process.argv[2] ?? '').then((code) => process.exit(code));
