/** The client of the platform's store. */
package org.verbenamast.relay.store;
