/**
The parts of undici that the gateway uses, for its bundle.

The package's main module loads everything, including fetch and WebSocket, which triples the start time.
*/
import * as api from '../node_modules/undici/lib/api/index.js';
import Dispatcher from '../node_modules/undici/lib/dispatcher/dispatcher.js';

// The package's main module adds these methods to every dispatcher.
Dispatcher.prototype.request = api.request;

export {default as Client} from '../node_modules/undici/lib/dispatcher/client.js';
export {default as Pool} from '../node_modules/undici/lib/dispatcher/pool.js';
export {default as errors} from '../node_modules/undici/lib/core/errors.js';
