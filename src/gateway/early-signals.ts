import process from 'node:process';

// SIGHUP announces changed settings and, without a handler, terminates the process, also while the program is still loading. The settings are read after loading, so an early signal can be ignored. Must be the first import of the program.
process.on('SIGHUP', () => undefined);
