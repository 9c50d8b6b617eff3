/** Chooses an owner for each slice of a service from the current owners, the slices' loads and the members' weights. */
package org.verbenamast.core.assign;
