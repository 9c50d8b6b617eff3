/** All decisions of a node that relays requests on a platform with rows, heartbeats and a manifest. */
package org.verbenamast.core.relay;
