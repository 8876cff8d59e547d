// Smaller V8 heap spaces keep a daemon near its budget of 64 MB resident memory.
require('node:v8').setFlagsFromString('--semi-space-growth-factor=1');
require('node:v8').setFlagsFromString('--max-semi-space-size=1');
require('node:v8').setFlagsFromString('--optimize-for-size');
