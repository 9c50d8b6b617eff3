/** Decides which members are given no requests for a while. */
package org.verbenamast.core.request.peer;
