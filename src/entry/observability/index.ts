export * from './audit-trail.js';
export * from './metrics.js';
export * from './operator-server.js';
export {type ObservedEndpoint} from './endpoint-latencies.js';
export * from './slow-detector.js';
