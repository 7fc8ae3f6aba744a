/** Reads the metrics of a process from its admin listener. */
export async function readMetrics(admin: string): Promise<Map<string, number>> {
  const response = await fetch(`http://${admin}/metrics`);
  const text = await response.text();
  const samples = text
    .split('\n')
    .filter(line => line !== '')
    .map((line): [string, number] => {
      const space = line.lastIndexOf(' ');
      return [line.slice(0, space), Number(line.slice(space + 1))];
    });
  return new Map(samples);
}

/** CPU time and memory of a process at one point in time. */
export interface ProcessUsage {
  cpuMs: number;
  residentBytes: number;
  heapBytes: number;
  /** Time of the sample on the monotonic clock, ms. */
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

/** Returns the CPU time per second between two samples, ms. */
export function getCpuRate(from: ProcessUsage, to: ProcessUsage): number {
  return ((to.cpuMs - from.cpuMs) * 1_000) / (to.atMs - from.atMs);
}
