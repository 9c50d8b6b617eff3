/** The known nodes and the backend server beside each of them. */
package org.verbenamast.core.roster;
