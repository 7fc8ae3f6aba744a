/** Reads the gauges and counters of a process from its admin listener. */
export async function readMetrics(admin: string): Promise<Map<string, number>> {
  const answer = await fetch(`http://${admin}/metrics`);
  const text = await answer.text();
  const series = text
    .split('\n')
    .filter(line => line !== '')
    .map((line): [string, number] => {
      const space = line.lastIndexOf(' ');
      return [line.slice(0, space), Number(line.slice(space + 1))];
    });
  return new Map(series);
}

/** Processor time and memory of a process at one moment. */
export interface ProcessUsage {
  cpuMs: number;
  residentBytes: number;
  heapBytes: number;
  /** Time of the reading, ms. */
  atMs: number;
}

export async function readProcessUsage(admin: string): Promise<ProcessUsage> {
  const metrics = await readMetrics(admin);
  return {
    cpuMs: metrics.get('vc_process_cpu_ms') ?? 0,
    residentBytes: metrics.get('vc_process_memory_bytes') ?? 0,
    heapBytes: metrics.get('vc_process_heap_bytes') ?? 0,
    atMs: performance.now(),
  };
}

/** Processor time a second between two readings, ms. */
export function getCpuRate(from: ProcessUsage, to: ProcessUsage): number {
  return ((to.cpuMs - from.cpuMs) * 1_000) / (to.atMs - from.atMs);
}
