/** A stand-in for the users' store of rows. */
package org.verbenamast.standins.rows;
