import { test } from 'node:test';
import { expect } from 'earl';
import { LogLevel, createLogger } from '../src/index.ts';

// Guards against log lines that a key=value parser cannot split, and against leaked secrets.
test('an event is one line of key=value pairs with secrets masked', () => {
  const lines: string[] = [];
  const write = (line: string): void => {
    lines.push(line);
  };
  const logger = createLogger({ name: 'd1', level: LogLevel.Info, write });
  logger.info('request_done', { request: 'r 1', status: 200, token: 'abc' });
  logger.debug('hidden');
  expect(lines.length).toEqual(1);
  expect(lines[0]?.replace(/^time=\S+ /u, '')).toEqual(
    'level=info process=d1 event=request_done request="r 1" status=200 token=***\n',
  );
});
