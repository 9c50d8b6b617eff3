/** HTTP connections and calls to the backend server beside this node. */
package org.verbenamast.relay.backend;
