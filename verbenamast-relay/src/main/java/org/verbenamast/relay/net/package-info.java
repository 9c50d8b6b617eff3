/** Connections on the event loop: reading and writing with back-pressure, and HTTP with Netty's codecs. */
package org.verbenamast.relay.net;
