/** Trainers' steps: their stored records, their state and their execution. */
export * from './generation.js';
export * from './progress.js';
export * from './records.js';
export * from './runnerPartition.js';
export * from './sampleExplanation.js';
export * from './samplePrompt.js';
export * from './sampleTask.js';
export * from './sampleText.js';
export * from './stepRegistry.js';
export * from './stepRunner.js';
export * from './stepService.js';
