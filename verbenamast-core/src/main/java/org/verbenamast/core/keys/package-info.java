/** Ownership of keys by backend servers: the key map, key leases and key grants, and the planning of moves. */
package org.verbenamast.core.keys;
