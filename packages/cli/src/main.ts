#!/usr/bin/env node
import {createProgram} from './program.js';

await createProgram({
  write: text => process.stdout.write(text),
  writeError: text => process.stderr.write(text),
  setStatus: status => {
    process.exitCode = status;
  },
  isInteractive: process.stderr.isTTY ?? false,
}).parseAsync();
