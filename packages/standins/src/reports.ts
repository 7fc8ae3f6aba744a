import {isDeepStrictEqual} from 'node:util';
import {z} from 'zod';

import type {RouteContext, Reply, Service, ServiceOptions} from './service.js';
import {createRoute, createService} from './service.js';

const reportSchema = z.object({
  figures: z.record(z.string(), z.unknown()),
  sealOffset: z.number(),
});
export type UsageReport = z.infer<typeof reportSchema>;

/** A report as received, including repeated and refused ones. */
export interface ReceivedReport extends UsageReport {
  window: number;
  atMs: number;
  result: 'accepted' | 'repeated' | 'conflict';
}

/** The platform's interface for usage reports. */
export interface ReportsStandIn extends Service {
  getAudit(): readonly ReceivedReport[];
  getReports(): ReadonlyMap<number, UsageReport>;
}

export async function createReports(
  options: ServiceOptions = {},
): Promise<ReportsStandIn> {
  const audit: ReceivedReport[] = [];
  const reports = new Map<number, UsageReport>();

  const receive = ({params, parse}: RouteContext): Reply => {
    const window = z.coerce.number().int().parse(params[0]);
    const report = parse(reportSchema);
    const existing = reports.get(window);
    const isSame = isDeepStrictEqual(existing?.figures, report.figures);
    const result = !existing ? 'accepted' : isSame ? 'repeated' : 'conflict';
    audit.push({...report, window, atMs: Date.now(), result});
    if (!existing) reports.set(window, report);
    return result === 'conflict'
      ? {status: 409, body: {error: 'other figures are reported'}}
      : {status: 200, body: {window}};
  };
  const service = await createService(
    [
      createRoute('PUT /v1/reports/:window', receive),
      createRoute('GET /v1/reports', () => ({
        status: 200,
        body: {
          reports: [...reports].map(([window, report]) => ({
            window,
            ...report,
          })),
        },
      })),
      createRoute('GET /audit', () => ({status: 200, body: audit})),
    ],
    options,
  );
  return {...service, getAudit: () => audit, getReports: () => reports};
}
