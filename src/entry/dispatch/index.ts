export {EndpointConnections, type EndpointConnection, type EndpointConnectionsOptions} from './endpoint-connections.js';
export {exchange} from './exchange.js';
export {dispatchToEngine} from './engine.js';
export {dispatchToPlainService} from './plain-service.js';
export type * from './types.js';
