/** Parts of the key of a task group: one step of one occurrence of a job. */
export interface GroupName {
  jobId: string;
  occurrence: number;
  step: number;
}

/** Parts of the name of a task. */
export interface TaskName extends GroupName {
  index: number;
}

const partCount = 4;

/** Formats the key of a group, `<job>.<occurrence>.<step>`. */
export function formatGroupName(name: GroupName): string {
  return `${name.jobId}.${name.occurrence}.${name.step}`;
}

/** Formats the name of a task, `<job>.<occurrence>.<step>.<index>`. */
export function formatTaskName(group: GroupName, index: number): string {
  return `${formatGroupName(group)}.${index}`;
}

/** Parses the name of a task; `undefined` if `text` is not a task name. */
export function parseTaskName(text: string): TaskName | undefined {
  const parts = text.split('.');
  const [jobId = '', ...numbers] = parts;
  const [occurrence = -1, step = -1, index = -1] = numbers.map(Number);
  const isValid = parts.length === partCount && numbers.every((part) => /^\d{1,9}$/u.test(part));
  return isValid ? { jobId, occurrence, step, index } : undefined;
}
