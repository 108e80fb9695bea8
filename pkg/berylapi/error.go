package berylapi

// ErrorBody is the JSON body of every error response, in the format of the OpenAI API.
type ErrorBody struct {
	// Error describes the failure.
	Error Error `json:"error"`
}

// Error describes why a request failed and what the caller can do.
type Error struct {
	// Message says what went wrong and what to do next.
	Message string `json:"message"`
	// Type is the general kind of error, such as "invalid_request_error".
	Type string `json:"type"`
	// Param names the invalid field, or is null.
	Param *string `json:"param"`
	// Code is the stable error code, such as "not-run".
	Code string `json:"code"`
}
