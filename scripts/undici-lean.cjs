// The parts of undici that the program uses. Loading the whole library, including fetch, would take
// about 10 MB more resident memory per daemon.
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Client = require('undici/lib/dispatcher/client.js');
const Pool = require('undici/lib/dispatcher/pool.js');
const errors = require('undici/lib/core/errors.js');
const api = require('undici/lib/api/index.js');

Object.assign(Dispatcher.prototype, api);

// Sends one request on a new connection, which closes afterwards; used by the command line.
function request(url, options) {
  const { origin, pathname, search } = new URL(url);
  const client = new Client(origin);
  const response = client.request({ method: 'GET', ...options, path: `${pathname}${search}` });
  void client.close();
  return response;
}

module.exports = { Client, Dispatcher, Pool, errors, request };
