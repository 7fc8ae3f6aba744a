import {
  createEngine,
  createInstanceList,
  createLog,
  createOrdering,
  createPlainService,
  createReports,
  createScoring,
  createWeightStore,
} from '@vanillacross/standins';
import type {Service} from '@vanillacross/standins';
import {after} from 'node:test';

import {
  describeEngineContract,
  describePlainServiceContract,
} from './engineContract.js';
import {
  describeInstanceListContract,
  describeLogContract,
  describeLogRateContract,
  describeOrderingContract,
  describeReportsContract,
  describeScoringContract,
  describeWeightStoreContract,
} from './platformContracts.js';

const services: Service[] = [];

function startWith(create: () => Promise<Service>): () => Promise<string> {
  return async () => {
    const service = await create();
    services.push(service);
    return service.url;
  };
}

const faults = {supportsFaultInjection: true};
after(() => Promise.all(services.map(service => service.close())));
describeLogContract(
  startWith(() => createLog({retainRecords: 500})),
  faults,
);
describeLogRateContract(startWith(() => createLog({appendsPerSecond: 20})));
describeInstanceListContract(
  startWith(() => createInstanceList()),
  faults,
);
for (const checksFencing of [true, false]) {
  const options = {checksFencing};
  describeOrderingContract(
    startWith(() => createOrdering(options)),
    checksFencing,
    faults,
  );
  describeEngineContract(
    startWith(() => createEngine({...options, tokenMs: 1})),
    checksFencing,
    faults,
  );
}
describeReportsContract(
  startWith(() => createReports()),
  faults,
);
describeWeightStoreContract(
  startWith(() => createWeightStore()),
  faults,
);
describeScoringContract(startWith(() => createScoring()));
describePlainServiceContract(
  startWith(() => createPlainService()),
  faults,
);
