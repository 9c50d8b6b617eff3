/** The backend server beside this node. */
package org.verbenamast.relay.backend;
