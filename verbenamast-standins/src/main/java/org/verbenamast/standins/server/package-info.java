/** Stands in for a backend server. */
package org.verbenamast.standins.server;
