/** Lays out rows under headers in columns of equal width. */
export function formatTable(
  headers: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  if (rows.length === 0) return '(none)';
  const all = [headers.map(header => header.toUpperCase()), ...rows];
  const widths = headers.map((_, column) =>
    Math.max(...all.map(row => row[column].length)),
  );
  return all
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column]))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
