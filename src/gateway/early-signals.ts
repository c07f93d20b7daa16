import process from 'node:process';

// SIGHUP announces changed settings. Without a handler it would terminate the process, even while the program is still loading. The settings are read after loading, so an early signal can be ignored. Must be the first import of the program.
process.on('SIGHUP', () => undefined);
