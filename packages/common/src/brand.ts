declare const brand: unique symbol;

/**
 * A nominal string or number type; ids of different kinds are not assignable to
 * each other.
 */
export type Brand<Base, Name extends string> = Base & {
  readonly [brand]: Name;
};

export type InstanceId = Brand<string, 'InstanceId'>;
export type AccountId = Brand<string, 'AccountId'>;
export type PoolId = Brand<string, 'PoolId'>;
export type UpstreamId = Brand<string, 'UpstreamId'>;
export type DomainId = Brand<string, 'DomainId'>;
export type TrainerId = Brand<string, 'TrainerId'>;
export type RequestId = Brand<string, 'RequestId'>;
export type AttemptId = Brand<string, 'AttemptId'>;
export type OrderId = Brand<string, 'OrderId'>;
export type SampleId = Brand<string, 'SampleId'>;
/** Version of an upstream's software, not of the weights that it serves. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>;
/** Identifies one run of a process; a restart begins a new epoch. */
export type Epoch = Brand<string, 'Epoch'>;
/** Position of a record in a stream of the platform's log. */
export type Offset = Brand<number, 'Offset'>;
/** Milliseconds on the monotonic clock of this process. */
export type MonotonicMs = Brand<number, 'MonotonicMs'>;

/** Casts a plain value to a branded type. */
export function toBranded<Branded extends string | number>(
  value: Branded extends string ? string : number,
): Branded {
  return value as unknown as Branded;
}
