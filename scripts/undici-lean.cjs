// The parts of undici that the program uses. Loading the whole library, with its fetch, costs about
// 10 MB of resident memory per daemon.
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Client = require('undici/lib/dispatcher/client.js');
const Pool = require('undici/lib/dispatcher/pool.js');
const errors = require('undici/lib/core/errors.js');
const api = require('undici/lib/api/index.js');

Object.assign(Dispatcher.prototype, api);

// One request on a connection of its own, as the command line needs it.
function request(url, options) {
  const { origin, pathname, search } = new URL(url);
  const client = new Client(origin);
  const answer = client.request({ method: 'GET', ...options, path: `${pathname}${search}` });
  void client.close();
  return answer;
}

module.exports = { Client, Dispatcher, Pool, errors, request };
