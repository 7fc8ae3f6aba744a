import {readFileSync} from 'node:fs';

import {Command, Option} from 'commander';

import {getExitStatus} from './errors.js';
import {explainId} from './explain.js';
import type {PlacementOptions} from './explainPlacement.js';
import {explainPlacement} from './explainPlacement.js';
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

/** Output streams and exit status of the process; tests pass a fake. */
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

/** Creates the `vanillacross` command with its subcommands. */
export function createProgram(terminal: Terminal): Command {
  const program = new Command('vanillacross')
    .description('Manages a vanillacross deployment through one of its entries')
    .addOption(
      new Option('--entry <url>', 'base URL of an entry')
        .env('VANILLACROSS_ENTRY')
        .default('http://127.0.0.1:7000'),
    )
    .option(
      '--token-file <path>',
      'file with the operator token; without it VANILLACROSS_TOKEN is used',
    )
    .addOption(
      new Option('--operator <name>', 'operator name recorded in the history')
        .env('VANILLACROSS_OPERATOR')
        .default(process.env['USER'] ?? 'operator'),
    )
    .addOption(
      new Option('--output <format>', 'format of the results')
        .choices(['table', 'json'])
        .default('table'),
    )
    .configureOutput({
      writeOut: text => terminal.write(text),
      writeErr: text => terminal.writeError(text),
    });

  /**
   * Creates the context of a command, runs the command and prints its result.
   */
  function run(execute: (context: CommandContext) => Promise<CommandResult>) {
    const options = getOptions(program.opts<RawOptions>());
    const client = createOperatorClient(options.entry, options.token);
    let hasProgress = false;
    const context: CommandContext = {
      options,
      client,
      showProgress: line => {
        if (!terminal.isInteractive) return;
        hasProgress = true;
        terminal.writeError(`\r\u001b[K${line}`);
      },
    };
    return execute(context).then(result => {
      if (hasProgress) terminal.writeError('\r\u001b[K');
      printResult(terminal, options.output, result);
    });
  }

  program
    .command('plan <directory>')
    .description('shows what apply would change')
    .option(
      '--prune',
      'also delete records that have no file, but only of kinds that have at least one file',
      false,
    )
    .option('--exit-code', 'exit with 10 if there are changes', false)
    .addHelpText('after', '\nExample: vanillacross plan records/')
    .action((directory: string, options) =>
      run(context => planRecords(context, directory, options)),
    );
  program
    .command('apply <directory>')
    .description(
      'publishes the declared records and waits until they are in force',
    )
    .option(
      '--prune',
      'also delete records that have no file, but only of kinds that have at least one file',
      false,
    )
    .addHelpText('after', '\nExample: vanillacross apply records/')
    .action((directory: string, options) =>
      run(context => applyRecords(context, directory, options)),
    );
  program
    .command('get [record]')
    .description('shows all records, the records of one kind, or one record')
    .addHelpText('after', '\nExample: vanillacross get route/seats')
    .action((record: string | undefined) =>
      run(context => showRecords(context, record)),
    );
  program
    .command('history [record]')
    .description('shows who changed which records')
    .addHelpText('after', '\nExample: vanillacross history domain/fd-a')
    .action((record: string | undefined) =>
      run(context => showHistory(context, record)),
    );
  addKeyCommands(program, run);
  addServiceStateCommands(program, run);
  program
    .command('status')
    .description(
      'shows instances, upstreams, failure domains and the controller',
    )
    .addHelpText('after', '\nExample: vanillacross status --output json')
    .action(() => run(showStatus));
  program
    .command('reports')
    .description('shows the sealed usage windows')
    .addHelpText('after', '\nExample: vanillacross reports')
    .action(() => run(showReports));
  program
    .command('doctor')
    .description('reports problems; exits with status 1 if there are any')
    .addHelpText('after', '\nExample: vanillacross doctor')
    .action(() => run(runDoctor));
  program
    .command('explain <id> [logs...]')
    .description(
      'shows the lines about a request, rollout step or sample from all given logs',
    )
    .addHelpText(
      'after',
      '\nExample: vanillacross explain 7c41e09b52d6a3f8 node-*.log',
    )
    .action((id: string, logs: string[]) => {
      const {output} = program.opts<RawOptions>();
      printResult(terminal, output, explainId(id, logs));
    });
  program
    .command('explain-placement')
    .description(
      'shows where a request or sample would go now from a node, without sending it',
    )
    .requiredOption('--node <url>', 'metrics address of the node')
    .option('--host <name>', 'host of a request')
    .option('--path <path>', 'path of a request')
    .option('--step <id>', 'step of a sample that the node runs')
    .option('--sample <id>', 'id of the sample')
    .option('--json', 'same as --output json', false)
    .addHelpText(
      'after',
      '\nExample: vanillacross explain-placement --node http://127.0.0.1:9100 --host seats.example --path /seats',
    )
    .action(async (options: PlacementOptions & {json: boolean}) => {
      const {output} = program.opts<RawOptions>();
      const result = await explainPlacement(options);
      printResult(terminal, options.json ? 'json' : output, result);
    });
  program
    .command('report <journal-files...>')
    .description(
      'compares the results of benchmark days between journal entries',
    )
    .option('--plot <file>', 'also write comma-separated values to a file')
    .addHelpText('after', '\nExample: vanillacross report journal/*.json')
    .action((files: string[], options: {plot?: string}) => {
      const {output} = program.opts<RawOptions>();
      printResult(terminal, output, reportJournal(files, options.plot));
    });
  program
    .command('settings')
    .description('checks settings files of the daemon')
    .command('check <file>')
    .description('reports all errors in a settings file')
    .addHelpText('after', '\nExample: vanillacross settings check entry.ini')
    .action((file: string) => {
      const {output} = program.opts<RawOptions>();
      printResult(terminal, output, checkSettings(file));
    });
  return program;
}

type RunCommand = (
  execute: (context: CommandContext) => Promise<CommandResult>,
) => Promise<void>;

function addKeyCommands(program: Command, run: RunCommand): void {
  const key = program
    .command('key')
    .description('creates and withdraws API keys');
  key
    .command('create <id>')
    .description('creates an API key and shows it once')
    .requiredOption('--account <id>', 'client account of the key')
    .addHelpText(
      'after',
      '\nExample: vanillacross key create booth-7 --account booths',
    )
    .action((id: string, options: {account: string}) =>
      run(context => createApiKey(context, id, options.account)),
    );
  key
    .command('withdraw <id>')
    .description('withdraws an API key and disconnects the callers that use it')
    .addHelpText('after', '\nExample: vanillacross key withdraw booth-7')
    .action((id: string) => run(context => withdrawApiKey(context, id)));
}

function addServiceStateCommands(program: Command, run: RunCommand): void {
  const domain = program
    .command('domain')
    .description(
      'puts failure domains in service and takes them out of service',
    );
  for (const state of ['in', 'out'] as const) {
    domain
      .command(`${state} <id>`)
      .description(
        `sets the state of a failure domain to "${state}" ("in": in service, "out": out of service)`,
      )
      .addHelpText('after', `\nExample: vanillacross domain ${state} fd-a`)
      .action((id: string) =>
        run(context => setDomainState(context, id, state)),
      );
  }
  const upstream = program
    .command('upstream')
    .description('drains and restores upstreams');
  for (const [name, state] of [
    ['drain', 'draining'],
    ['restore', 'in'],
  ] as const) {
    upstream
      .command(`${name} <id>`)
      .description(
        `sets the state of an upstream to "${state}" (a "draining" upstream gets no new requests)`,
      )
      .addHelpText('after', `\nExample: vanillacross upstream ${name} engine-1`)
      .action((id: string) =>
        run(context => setUpstreamState(context, id, state)),
      );
  }
}
