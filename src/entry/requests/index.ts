export {RequestId, type RequestIdParts} from './request-id.js';
export {
	RequestRegistry, type OpenOptions, type OpenResult, type RegistryPolicy, type RequestRecord, type RequestRegistryOptions,
} from './request-registry.js';
export {ResponseLog, type ResponseEvent} from './response-log.js';
export * from './types.js';
