export * from './endpoint-backoff.js';
export * from './endpoint-speed-estimator.js';
export * from './prefix-affinity.js';
export * from './prefix-index.js';
export * from './router.js';
