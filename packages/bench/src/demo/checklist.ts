/** Prints checks as they are made and counts the failed ones. */
export interface Checklist {
  startSection(name: string): void;
  check(what: string, isOk: boolean, details: string): void;
  /** Prints the result; returns the exit code. */
  printSummary(): number;
}

/** Creates a checklist that prints to standard output. */
export function createChecklist(): Checklist {
  const startMs = performance.now();
  let passed = 0;
  let failed = 0;

  const formatTime = (): string => ((performance.now() - startMs) / 1000).toFixed(1).padStart(5);

  return {
    startSection: (name) => {
      console.log(`\n${name}`);
    },
    check: (what, isOk, details) => {
      if (isOk) passed += 1;
      else failed += 1;
      console.log(`  ${formatTime()} s  ${isOk ? 'ok  ' : 'FAIL'}  ${what}: ${details}`);
    },
    printSummary: () => {
      console.log(`\n${passed} checks passed, ${failed} failed`);
      return failed === 0 ? 0 : 1;
    },
  };
}
