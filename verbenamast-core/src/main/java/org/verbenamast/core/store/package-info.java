/** Calls to the table service, with retries and read-back. Chart {@code store-call}. */
package org.verbenamast.core.store;
