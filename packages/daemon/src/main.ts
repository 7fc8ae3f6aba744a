#!/usr/bin/env node
import {
  createLogger,
  describeSettingsFailure,
  exitOnUnhandledErrors,
  readSettings,
} from '@vanillacross/common';
import {isEntrySettings, settingsSchema} from '@vanillacross/domain';
import {Command} from 'commander';

import {startAgent} from './agent.js';
import {startEntry} from './entry.js';

/** Exit status for invalid arguments or settings. */
const EXIT_SETTINGS = 2;
/** Exit status for a failed start, for example a port already in use. */
const EXIT_START = 1;

const program: Command = new Command('vanillacrossd')
  .description(
    'Runs an entry or an agent, depending on the role in the settings',
  )
  .requiredOption('--settings <file>', 'INI file with the settings')
  .addHelpText('after', '\nExample: vanillacrossd --settings entry.ini');
program.parse();

const settings = readSettings(
  program.opts<{settings: string}>().settings,
  settingsSchema,
);
if (!settings.ok) {
  process.stderr.write(`${describeSettingsFailure(settings.error)}\n`);
  process.exit(EXIT_SETTINGS);
}

const {instance, limits} = settings.value;
exitOnUnhandledErrors(
  createLogger('process', 'error', {instance: instance.id}),
);
const running = await (
  isEntrySettings(settings.value)
    ? startEntry(settings.value)
    : startAgent(settings.value)
).catch((error: Error) => {
  process.stderr.write(`cannot start ${instance.id}: ${error.message}\n`);
  process.exit(EXIT_START);
});
const ready = {ready: true, role: instance.role, ...running.addresses};
process.stdout.write(`${JSON.stringify(ready)}\n`);

const stopping = new AbortController();
let signals = 0;

/**
 * The first signal starts draining; a second one, or the drain timeout, aborts
 * running requests.
 */
function handleSignal(): void {
  signals++;
  if (signals > 1) {
    stopping.abort();
    return;
  }
  setTimeout(() => stopping.abort(), limits.drainMs).unref();
  void running.stop(stopping.signal).then(() => process.exit(0));
}

process.on('SIGTERM', handleSignal);
process.on('SIGINT', handleSignal);
