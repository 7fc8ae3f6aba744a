import {Command, InvalidArgumentError} from 'commander';

import {createEngine} from './engine.js';
import {createFaultProxy} from './faultProxy.js';
import {createInstanceList} from './instanceList.js';
import {createLog} from './log.js';
import {createOrdering} from './ordering.js';
import {createPlainService} from './plainService.js';
import {createReports} from './reports.js';
import {createScoring} from './scoring.js';
import {createWeightStore} from './weightStore.js';

type FlagKind = 'number' | 'text' | 'switch';

/**
 * A stand-in that can run as a process, and its options as command-line flags.
 */
interface StandInCommand {
  description: string;
  flags: Record<string, FlagKind>;
  create(options: never): Promise<{
    address: string;
    /** URL at which the faults of a fault proxy are set. */
    controlUrl?: string;
    close(): Promise<void>;
  }>;
}

const coldStartFlags = {
  coldMs: 'number',
  coldConcurrency: 'number',
  coldOverload: 'text',
  crashMarker: 'text',
  restartMs: 'number',
} as const;

const commands: Record<string, StandInCommand> = {
  log: {
    description: 'append-only log',
    flags: {
      retainRecords: 'number',
      retainMs: 'number',
      appendsPerSecond: 'number',
    },
    create: createLog,
  },
  instances: {
    description: 'eventually consistent instance list',
    flags: {lagMs: 'number'},
    create: createInstanceList,
  },
  ordering: {
    description: 'ordering interface of one failure domain',
    flags: {checksFencing: 'switch', domain: 'text'},
    create: createOrdering,
  },
  reports: {
    description: 'usage report interface',
    flags: {},
    create: createReports,
  },
  weights: {
    description: 'rate-limited weight store',
    flags: {bytesPerSecond: 'number'},
    create: createWeightStore,
  },
  scoring: {
    description: 'scoring service',
    flags: {serviceMs: 'number'},
    create: createScoring,
  },
  engine: {
    description: 'model engine',
    flags: {
      ...coldStartFlags,
      tokenMs: 'number',
      halfSpeedBatch: 'number',
      maxBatch: 'number',
      prefillTokenMs: 'number',
      stopRate: 'number',
      statusLagMs: 'number',
      cacheBlocks: 'number',
      cacheEventLagMs: 'number',
      cacheEventLoss: 'number',
      checksFencing: 'switch',
      model: 'text',
      weightVersion: 'number',
      weights: 'text',
      stageMs: 'number',
      activateMs: 'number',
    },
    create: createEngine,
  },
  plain: {
    description: 'plain service',
    flags: {
      ...coldStartFlags,
      serviceMs: 'number',
      concurrency: 'number',
      name: 'text',
    },
    create: createPlainService,
  },
  proxy: {
    description: 'TCP fault proxy',
    flags: {target: 'text'},
    create: createFaultProxy,
  },
};

function parseNumber(text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value)) throw new InvalidArgumentError('not a number');
  return value;
}

function toFlagName(option: string): string {
  return option.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

async function run(command: StandInCommand, options: object): Promise<void> {
  const service = await command.create(options as never);
  const {address, controlUrl} = service;
  console.log(JSON.stringify({ready: true, address, controlUrl}));
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => void service.close().then(() => process.exit()));
  }
}

const program = new Command('standins')
  .description(
    'Runs a stand-in for an external system and prints a JSON line when it is ready',
  )
  .showHelpAfterError();
for (const [name, command] of Object.entries(commands)) {
  const subcommand = program
    .command(name)
    .description(command.description)
    .option('--listen <ip:port>', 'address to listen on', '127.0.0.1:0');
  for (const [option, kind] of Object.entries(command.flags)) {
    const flag = `--${toFlagName(option)}`;
    if (kind === 'switch') subcommand.option(flag);
    else if (kind === 'text') subcommand.option(`${flag} <text>`);
    else subcommand.option(`${flag} <number>`, '', parseNumber);
  }
  subcommand.action((options: object) => run(command, options));
}
await program.parseAsync();
