import {Command} from 'commander';

import {benches} from './benches.js';
import type {Bench, Measurement} from './types.js';

function formatRows(headers: string[], rows: string[][]): string {
  const all = [headers, ...rows];
  const widths = headers.map((_, i) =>
    Math.max(...all.map(row => row[i].length)),
  );
  return all
    .map(row => row.map((cell, i) => cell.padEnd(widths[i])).join('  '))
    .join('\n');
}

function printMeasurement(bench: Bench, measurement: Measurement): void {
  const {headers, rows, figure, baseline, conclusion, details} = measurement;
  console.log(`${bench.name}: ${bench.summary}\n`);
  console.log(formatRows(headers, rows));
  console.log(`\n${conclusion}`);
  const ratio = baseline === 0 ? null : figure / baseline;
  const summary = {name: bench.name, figure, baseline, ratio, ...details};
  console.log(JSON.stringify(summary));
}

const program: Command = new Command('bench')
  .description('Runs one bench and prints a table and a JSON line')
  .argument('<name>', `one of: ${benches.map(b => b.name).join(', ')}`)
  .action(async (name: string) => {
    const bench = benches.find(candidate => candidate.name === name);
    if (!bench) {
      program.error(`unknown bench: ${name}`, {exitCode: 2});
    }
    printMeasurement(bench, await bench.run());
  });

await program.parseAsync();
