/** Formats rows as a table whose columns are as wide as their longest cell. */
export function formatTable(
  headers: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  if (rows.length === 0) return '(none)';
  const lines = [headers.map(header => header.toUpperCase()), ...rows];
  const widths = headers.map((_, column) =>
    Math.max(...lines.map(row => row[column].length)),
  );
  return lines
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
