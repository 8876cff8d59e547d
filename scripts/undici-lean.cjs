// The parts of undici that the program uses. Loading the whole library, with its fetch, costs about
// 10 MB of resident memory per daemon.
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Client = require('undici/lib/dispatcher/client.js');
const Pool = require('undici/lib/dispatcher/pool.js');
const errors = require('undici/lib/core/errors.js');
const api = require('undici/lib/api/index.js');

Object.assign(Dispatcher.prototype, api);

module.exports = { Client, Dispatcher, Pool, errors };
