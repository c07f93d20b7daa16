export {CallerServer, type CallerServerOptions} from './caller-server.js';
export * from './types.js';
