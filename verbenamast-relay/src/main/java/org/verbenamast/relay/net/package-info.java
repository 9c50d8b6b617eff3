/** Connections on the one event loop: writing with back-pressure, and HTTP by Netty's codecs. */
package org.verbenamast.relay.net;
