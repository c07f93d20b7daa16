export * from './check.js';
export * from './difference.js';
export * from './digest.js';
export * from './overlay.js';
export {toPointer, valueAt, type DocumentPath} from './pointer.js';
export * from './schema.js';
