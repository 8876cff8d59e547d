/** Prints each check as it completes and counts passed and failed ones. */
export interface Checklist {
  startSection(name: string): void;
  check(label: string, isOk: boolean, details: string): void;
  /** Prints the totals; returns the exit code, 1 if a check failed. */
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
    check: (label, isOk, details) => {
      if (isOk) passed += 1;
      else failed += 1;
      console.log(`  ${formatTime()} s  ${isOk ? 'ok  ' : 'FAIL'}  ${label}: ${details}`);
    },
    printSummary: () => {
      console.log(`\n${passed} checks passed, ${failed} failed`);
      return failed === 0 ? 0 : 1;
    },
  };
}
