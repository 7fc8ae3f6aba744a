import {readFileSync} from 'node:fs';

import {Command, Option} from 'commander';

import {getExitStatus} from './errors.js';
import {explainId} from './explain.js';
import {reportJournal} from './journalReport.js';
import {createOperatorClient} from './operatorClient.js';
import {
  applyRecords,
  createApiKey,
  showHistory,
  showRecords,
  planRecords,
  setDomainState,
  setUpstreamState,
  withdrawApiKey,
} from './recordCommands.js';
import {
  checkSettings,
  runDoctor,
  showReports,
  showStatus,
} from './statusCommands.js';
import type {CommandResult, GlobalOptions, CommandContext} from './types.js';

/** Streams and exit status of the command line; tests pass their own. */
export interface Terminal {
  write(text: string): void;
  writeError(text: string): void;
  setStatus(status: number): void;
  isInteractive: boolean;
}

interface RawOptions {
  entry: string;
  tokenFile?: string;
  operator: string;
  output: 'table' | 'json';
}

function getOptions(raw: RawOptions): GlobalOptions {
  const token = raw.tokenFile
    ? readFileSync(raw.tokenFile, 'utf8').trim()
    : (process.env['VANILLACROSS_TOKEN'] ?? '');
  const {entry, operator, output} = raw;
  return {entry: entry.replace(/\/$/, ''), operator, output, token};
}

function printResult(
  terminal: Terminal,
  output: 'table' | 'json',
  result: CommandResult,
): void {
  if (!result.ok) {
    const {tag, message} = result.error;
    if (output === 'json') {
      terminal.write(`${JSON.stringify({error: {tag, message}})}\n`);
    }
    terminal.writeError(`${message}\n`);
    terminal.setStatus(getExitStatus(result.error));
    return;
  }
  const {data, text, status} = result.value;
  terminal.write(output === 'json' ? `${JSON.stringify(data)}\n` : `${text}\n`);
  terminal.setStatus(status ?? 0);
}

/** Creates the command line. */
export function createProgram(terminal: Terminal): Command {
  const program = new Command('vanillacross')
    .description('Drives a vanillacross deployment through one of its entries')
    .addOption(
      new Option('--entry <url>', 'base URL of an entry')
        .env('VANILLACROSS_ENTRY')
        .default('http://127.0.0.1:7000'),
    )
    .option(
      '--token-file <path>',
      'file with the operator token; VANILLACROSS_TOKEN otherwise',
    )
    .addOption(
      new Option('--operator <name>', 'name written into the history')
        .env('VANILLACROSS_OPERATOR')
        .default(process.env['USER'] ?? 'operator'),
    )
    .addOption(
      new Option('--output <format>', 'how results are printed')
        .choices(['table', 'json'])
        .default('table'),
    )
    .configureOutput({
      writeOut: text => terminal.write(text),
      writeErr: text => terminal.writeError(text),
    });

  /** Wraps a command: opens a session, runs it, prints the result. */
  function run(perform: (session: CommandContext) => Promise<CommandResult>) {
    const options = getOptions(program.opts<RawOptions>());
    const client = createOperatorClient(options.entry, options.token);
    let hasProgress = false;
    const session: CommandContext = {
      options,
      client,
      showProgress: line => {
        if (!terminal.isInteractive) return;
        hasProgress = true;
        terminal.writeError(`\r\u001b[K${line}`);
      },
    };
    return perform(session).then(result => {
      if (hasProgress) terminal.writeError('\r\u001b[K');
      printResult(terminal, options.output, result);
    });
  }

  program
    .command('plan <directory>')
    .description('shows what apply would change')
    .option('--prune', 'also delete records that have no file', false)
    .option('--exit-code', 'exit with 10 if there are changes', false)
    .addHelpText('after', '\nExample: vanillacross plan records/')
    .action((directory: string, options) =>
      run(session => planRecords(session, directory, options)),
    );
  program
    .command('apply <directory>')
    .description('publishes the declared records and waits until in force')
    .option('--prune', 'also delete records that have no file', false)
    .addHelpText('after', '\nExample: vanillacross apply records/')
    .action((directory: string, options) =>
      run(session => applyRecords(session, directory, options)),
    );
  program
    .command('get [record]')
    .description('shows records: all, of a kind, or one')
    .addHelpText('after', '\nExample: vanillacross get route/seats')
    .action((record: string | undefined) =>
      run(session => showRecords(session, record)),
    );
  program
    .command('history [record]')
    .description('shows who changed what')
    .addHelpText('after', '\nExample: vanillacross history domain/fd-a')
    .action((record: string | undefined) =>
      run(session => showHistory(session, record)),
    );
  addKeyCommands(program, run);
  addPlacementCommands(program, run);
  program
    .command('status')
    .description('shows instances, upstreams, failure domains, the controller')
    .addHelpText('after', '\nExample: vanillacross status --output json')
    .action(() => run(showStatus));
  program
    .command('reports')
    .description('shows the sealed usage windows')
    .addHelpText('after', '\nExample: vanillacross reports')
    .action(() => run(showReports));
  program
    .command('doctor')
    .description('says what needs a look; exit status 1 if anything does')
    .addHelpText('after', '\nExample: vanillacross doctor')
    .action(() => run(runDoctor));
  program
    .command('explain <id> [logs...]')
    .description('shows the way of a request, step or sample through all logs')
    .addHelpText(
      'after',
      '\nExample: vanillacross explain 7c41e09b52d6a3f8 node-*.log',
    )
    .action((id: string, logs: string[]) => {
      const {output} = program.opts<RawOptions>();
      printResult(terminal, output, explainId(id, logs));
    });
  program
    .command('report <entries...>')
    .description('shows how the days of the bench went from entry to entry')
    .option('--plot <file>', 'also writes comma-separated values to a file')
    .addHelpText('after', '\nExample: vanillacross report journal/*.json')
    .action((entries: string[], options: {plot?: string}) => {
      const {output} = program.opts<RawOptions>();
      printResult(terminal, output, reportJournal(entries, options.plot));
    });
  program
    .command('settings')
    .description('works on settings files of the daemon')
    .command('check <file>')
    .description('reports every mistake of a settings file')
    .addHelpText('after', '\nExample: vanillacross settings check entry.ini')
    .action((file: string) => {
      const {output} = program.opts<RawOptions>();
      printResult(terminal, output, checkSettings(file));
    });
  return program;
}

type Run = (
  perform: (session: CommandContext) => Promise<CommandResult>,
) => Promise<void>;

function addKeyCommands(program: Command, run: Run): void {
  const key = program.command('key').description('creates and withdraws keys');
  key
    .command('create <id>')
    .description('creates a key and shows it once')
    .requiredOption('--account <id>', 'client account of the key')
    .addHelpText(
      'after',
      '\nExample: vanillacross key create booth-7 --account booths',
    )
    .action((id: string, options: {account: string}) =>
      run(session => createApiKey(session, id, options.account)),
    );
  key
    .command('withdraw <id>')
    .description('withdraws a key; connected callers are disconnected')
    .addHelpText('after', '\nExample: vanillacross key withdraw booth-7')
    .action((id: string) => run(session => withdrawApiKey(session, id)));
}

function addPlacementCommands(program: Command, run: Run): void {
  const domain = program
    .command('domain')
    .description('takes failure domains in and out');
  for (const state of ['in', 'out'] as const) {
    domain
      .command(`${state} <id>`)
      .description(`takes a failure domain ${state}`)
      .addHelpText('after', `\nExample: vanillacross domain ${state} fd-a`)
      .action((id: string) =>
        run(session => setDomainState(session, id, state)),
      );
  }
  const upstream = program
    .command('upstream')
    .description('drains upstreams and takes them back');
  for (const [name, state] of [
    ['drain', 'draining'],
    ['restore', 'in'],
  ] as const) {
    upstream
      .command(`${name} <id>`)
      .description(`sets an upstream to state ${state}`)
      .addHelpText('after', `\nExample: vanillacross upstream ${name} engine-1`)
      .action((id: string) =>
        run(session => setUpstreamState(session, id, state)),
      );
  }
}
